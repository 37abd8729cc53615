//! The macro that gives domain types their common derives.

/// Derives the set of traits that every domain type has.
///
/// # Examples
///
/// ```
/// zinniahatch_base::domain! {
///     /// A pair.
///     pub struct SlotPair {
///         /// The first.
///         pub first: u8,
///     }
/// }
/// assert_eq!(SlotPair { first: 1 }, SlotPair { first: 1 }.clone());
/// ```
#[macro_export]
macro_rules! domain {
    ($($(#[$meta:meta])* pub $kind:ident $name:ident { $($body:tt)* })+) => {
        $(
            $(#[$meta])*
            #[derive(Clone, Debug, PartialEq, ::serde::Serialize, ::serde::Deserialize)]
            pub $kind $name { $($body)* }
        )+
    };
}

/// Derives what a field-less enum of settings needs and gives it its text form.
///
/// # Examples
///
/// ```
/// zinniahatch_base::word_enum! {
///     /// A side.
///     pub enum SideWord { Left = "left", Right = "right" }
/// }
/// assert_eq!(SideWord::parse("left"), Some(SideWord::Left));
/// assert_eq!(SideWord::WORDS, "left, right");
/// ```
#[macro_export]
macro_rules! word_enum {
    ($(#[$meta:meta])* pub enum $name:ident {
        $($(#[$inner:meta])* $variant:ident = $word:literal),+ $(,)?
    }) => {
        $(#[$meta])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, ::serde::Serialize, ::serde::Deserialize)]
        #[serde(rename_all = "kebab-case")]
        pub enum $name { $($(#[$inner])* #[doc = concat!("`", $word, "`.")] $variant),+ }

        impl $name {
            /// Every word, for error messages.
            pub const WORDS: &'static str = $crate::join_words!($($word),+);

            /// Reads the text form.
            pub fn parse(word: &str) -> Option<Self> {
                match word {
                    $($word => Some(Self::$variant),)+
                    _ => None,
                }
            }

            /// Gives the text form.
            pub const fn word(self) -> &'static str {
                match self { $(Self::$variant => $word),+ }
            }
        }
    };
}

/// Joins literals with commas at compile time.
#[macro_export]
macro_rules! join_words {
    ($first:literal $(, $rest:literal)*) => { concat!($first $(, ", ", $rest)*) };
}
