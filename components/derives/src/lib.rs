//! Common sets of derives, so that each kind of type carries the same ones everywhere.

/// Derives for plain data: `Clone`, `Debug`, `PartialEq`.
///
/// ```
/// derives::data! {
///     /// A point on a plane.
///     pub struct Point {
///         pub x: f64,
///     }
/// }
/// assert_eq!(Point { x: 1.0 }, Point { x: 1.0 }.clone());
/// ```
#[macro_export]
macro_rules! data {
    ($($item:item)*) => { $( #[derive(Clone, Debug, PartialEq)] $item )* };
}

/// Derives for small values used as keys: those of data, and `Copy`, `Eq`, `Hash`, `Ord`.
///
/// ```
/// derives::value! {
///     pub struct Rank(pub u8);
/// }
/// assert!(Rank(1) < Rank(2));
/// ```
#[macro_export]
macro_rules! value {
    ($($item:item)*) => {
        $( #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)] $item )*
    };
}

/// An enum of plain names, each with the word for it in settings and logs: derives of [`value!`], a
/// constant `ALL`, `as_str` and `FromStr`, whose error is the list of all words.
///
/// ```
/// derives::named! {
///     /// A colour.
///     pub enum Colour {
///         /// As grass.
///         Green = "green",
///         /// As the sky.
///         Blue = "blue",
///     }
/// }
/// assert_eq!("blue".parse(), Ok(Colour::Blue));
/// assert_eq!("red".parse::<Colour>(), Err("green, blue".to_string()));
/// ```
#[macro_export]
macro_rules! named {
    (
        $(#[$meta:meta])*
        $vis:vis enum $name:ident { $( $(#[$doc:meta])* $variant:ident = $word:literal, )* }
    ) => {
        $crate::value! {
            $(#[$meta])*
            $vis enum $name { $( $(#[$doc])* $variant, )* }
        }

        impl $name {
            /// All of them.
            $vis const ALL: &[$name] = &[$( $name::$variant, )*];

            /// The word for it in settings and logs.
            $vis fn as_str(self) -> &'static str {
                match self { $( $name::$variant => $word, )* }
            }
        }

        impl std::str::FromStr for $name {
            type Err = String;

            fn from_str(word: &str) -> Result<Self, String> {
                let all = $name::ALL.iter();
                let found = all.copied().find(|known| known.as_str() == word);
                found.ok_or_else(|| [$( $word, )*].join(", "))
            }
        }
    };
}
