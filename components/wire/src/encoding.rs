//! Implements the encoding of messages and of the rows in their lists.

/// Implements `encode` and `decode` for messages.
macro_rules! messages {
    ($($name:ident),*) => {$(
        impl $name {
            /// Encodes the message as MessagePack.
            pub fn encode(&self) -> Vec<u8> {
                rmp_serde::to_vec_named(self).expect("a message has only plain fields")
            }

            /// Decodes a message from MessagePack.
            ///
            /// # Errors
            /// When the bytes aren't a message of this type.
            pub fn decode(bytes: &[u8]) -> Result<Self, $crate::Error> {
                Ok(rmp_serde::from_slice(bytes)?)
            }
        }
    )*};
}

/// Defines a row of a list: a struct in Rust, and on the wire an array of its fields by position,
/// which is half as long as a map.
macro_rules! row {
    (
        $(#[$meta:meta])*
        pub struct $name:ident { $($(#[$note:meta])* pub $field:ident: $kind:ty,)* }
    ) => {
        $(#[$meta])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub struct $name { $($(#[$note])* pub $field: $kind,)* }

        impl Serialize for $name {
            fn serialize<S: serde::Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
                ($(self.$field,)*).serialize(to)
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: serde::Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
                let ($($field,)*) = Deserialize::deserialize(from)?;
                Ok($name { $($field,)* })
            }
        }
    };
}
