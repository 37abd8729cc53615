//! News between the nodes: who lives, who has work where, and what one knows that another does not.

pub(crate) mod catch_up;
pub(crate) mod datagrams;
pub(crate) mod duty;
pub(crate) mod gossip;
pub(crate) mod news_teller;
pub(crate) mod node_gram;
pub(crate) mod own_card;
pub(crate) mod replica_news;
pub(crate) mod snapshot;
pub(crate) mod work_teller;
