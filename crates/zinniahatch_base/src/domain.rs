//! Macros that define domain types with their common derives.

/// Defines types with the set of derives that every domain type has.
///
/// # Examples
///
/// ```
/// zinniahatch_base::domain! {
///     /// A pair of slots.
///     pub struct SlotPair {
///         /// The first slot.
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

/// Defines a field-less enum with a text form for each variant, as used in settings.
///
/// # Examples
///
/// ```
/// zinniahatch_base::string_enum! {
///     /// A side.
///     pub enum Side { Left = "left", Right = "right" }
/// }
/// assert_eq!(Side::parse("left"), Some(Side::Left));
/// assert_eq!(Side::NAMES, "left, right");
/// ```
#[macro_export]
macro_rules! string_enum {
    ($(#[$meta:meta])* pub enum $name:ident {
        $($(#[$inner:meta])* $variant:ident = $text:literal),+ $(,)?
    }) => {
        $(#[$meta])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, ::serde::Serialize, ::serde::Deserialize)]
        #[serde(rename_all = "kebab-case")]
        pub enum $name { $($(#[$inner])* #[doc = concat!("`", $text, "`.")] $variant),+ }

        impl $name {
            /// All text forms, comma-separated, for error messages.
            pub const NAMES: &'static str = $crate::join_literals!($($text),+);

            /// Parses the text form.
            pub fn parse(text: &str) -> Option<Self> {
                match text {
                    $($text => Some(Self::$variant),)+
                    _ => None,
                }
            }

            /// Returns the text form.
            pub const fn as_str(self) -> &'static str {
                match self { $(Self::$variant => $text),+ }
            }
        }
    };
}

/// Joins string literals with commas at compile time.
#[macro_export]
macro_rules! join_literals {
    ($first:literal $(, $rest:literal)*) => { concat!($first $(, ", ", $rest)*) };
}
