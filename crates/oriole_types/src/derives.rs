//! Macros that attach the common derive sets, so that each kind of type has one place that says
//! what it can do.

/// Declares a domain type: cloneable, comparable and serializable, with unknown fields refused.
///
/// Use it for structures that are stored or sent. Enums get `snake_case` names on the wire.
///
/// ```
/// oriole_types::domain_type! {
///     /// A point.
///     pub struct Point {
///         /// Abscissa in metres.
///         pub x: u32,
///     }
/// }
/// let p = Point { x: 1 };
/// assert_eq!(p.clone(), p);
/// ```
#[macro_export]
macro_rules! domain_type {
    ($(#[$meta:meta])* $vis:vis $kind:ident $($rest:tt)*) => {
        #[derive(Clone, Debug, PartialEq, ::serde::Serialize, ::serde::Deserialize)]
        #[serde(deny_unknown_fields, rename_all = "snake_case")]
        $(#[$meta])*
        $vis $kind $($rest)*
    };
}

/// Declares a small value type: a domain type that can also be copied, ordered and hashed.
///
/// Use it for enums without payload and for small plain structures that serve as map keys.
#[macro_export]
macro_rules! value_type {
    ($(#[$meta:meta])* $vis:vis $kind:ident $($rest:tt)*) => {
        #[derive(
            Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash,
            ::serde::Serialize, ::serde::Deserialize,
        )]
        #[serde(deny_unknown_fields, rename_all = "snake_case")]
        $(#[$meta])*
        $vis $kind $($rest)*
    };
}

/// Declares a name: a cheaply cloned string with its own type.
///
/// Names compare and hash as their text, so maps can be searched with a `&str`.
#[macro_export]
macro_rules! name_type {
    ($(#[$meta:meta])* $vis:vis struct $name:ident) => {
        $(#[$meta])*
        #[derive(
            Clone, PartialEq, Eq, PartialOrd, Ord, Hash, ::serde::Serialize, ::serde::Deserialize,
        )]
        #[serde(transparent)]
        $vis struct $name(::std::sync::Arc<str>);

        impl $name {
            /// Wraps the text of a name.
            #[must_use]
            pub fn new(text: &str) -> Self {
                Self(text.into())
            }

            /// The text of the name.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl ::std::borrow::Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self::new(text)
            }
        }

        impl ::std::fmt::Display for $name {
            fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl ::std::fmt::Debug for $name {
            fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
                write!(f, "{:?}", &*self.0)
            }
        }
    };
}

/// Declares a number with a type of its own, so that two kinds of counters cannot be mixed up.
#[macro_export]
macro_rules! number_type {
    ($(#[$meta:meta])* $vis:vis struct $name:ident) => {
        $(#[$meta])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash,
            ::serde::Serialize, ::serde::Deserialize,
        )]
        #[serde(transparent)]
        $vis struct $name(pub u64);

        impl $name {
            /// The number that follows this one.
            #[must_use]
            pub fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl ::std::fmt::Display for $name {
            fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
                write!(f, "{}", self.0)
            }
        }
    };
}
