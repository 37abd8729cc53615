//! Answers that stop inside their head or just after it.

use super::answer_form::AnswerEnd;
use super::answer_form::AnswerForm;
use super::answer_form::AnswerFraming;

/// Query parameter that describes a cut.
const PARAMETER: &str = "?cut=";
/// What separates the parts of a description.
const SEPARATOR: char = '.';
/// A response that comes before the final one.
const INTERIM_RESPONSE: &str = "HTTP/1.1 103 Early Hints\r\nLink: </style.css>\r\n\r\n";

/// A head of which only the beginning is sent, by replicas that cut heads and only for requests whose
/// path describes the cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeadCut {
    /// How the answer marks its end.
    pub framing: AnswerFraming,
    /// Number of bytes at the end of the head that are not sent; nothing is sent if it has fewer.
    pub missing: usize,
    /// How the answer ends.
    pub end: AnswerEnd,
    /// Whether something between ends the head with an empty line.
    pub closed: bool,
    /// Whether an interim response comes before.
    pub interim: bool,
}

impl HeadCut {
    /// Returns the query of a path that describes the cut.
    pub fn query(self) -> String {
        let framing = match self.framing {
            AnswerFraming::Chunks => "chunks",
            AnswerFraming::Length => "length",
            AnswerFraming::Close => "close",
        };
        let end = match self.end {
            AnswerEnd::Close => "close",
            AnswerEnd::Reset => "reset",
            AnswerEnd::Silence => "silence",
            AnswerEnd::Crash => "crash",
        };
        let (missing, closed, interim) = (self.missing, self.closed, self.interim);
        format!("{PARAMETER}{framing}.{missing}.{end}.{closed}.{interim}")
    }

    /// Reads the cut that a path describes.
    pub(super) fn of_path(path: &str) -> Option<Self> {
        let (_, description) = path.split_once(PARAMETER)?;
        let mut parts = description.split(SEPARATOR);
        let framing = match parts.next()? {
            "chunks" => AnswerFraming::Chunks,
            "length" => AnswerFraming::Length,
            _ => AnswerFraming::Close,
        };
        let missing = parts.next()?.parse().ok()?;
        let end = match parts.next()? {
            "reset" => AnswerEnd::Reset,
            "silence" => AnswerEnd::Silence,
            "crash" => AnswerEnd::Crash,
            _ => AnswerEnd::Close,
        };
        Some(Self {
            framing,
            missing,
            end,
            closed: parts.next()?.parse().ok()?,
            interim: parts.next()?.parse().ok()?,
        })
    }

    /// Returns the form of the answer that is cut.
    pub(super) fn form(self) -> AnswerForm {
        AnswerForm::whole(self.framing)
    }

    /// Returns what is sent of a head.
    pub(super) fn apply(self, head: &str) -> String {
        let interim = if self.interim { INTERIM_RESPONSE } else { "" };
        let sent = &head[..head.len().saturating_sub(self.missing)];
        if !self.closed {
            return format!("{interim}{sent}");
        }
        let lines = sent.trim_end_matches(['\r', '\n']);
        format!("{interim}{lines}\r\n\r\n")
    }
}
