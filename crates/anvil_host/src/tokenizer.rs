//! Converts text to tokens and back, one token for each byte.

use anvil_core::id::Token;

/// Number of tokens that stand for a byte. Their values are 0 to 255.
const BYTE_TOKEN_COUNT: Token = 256;

/// Returns the tokens of a text: one for each byte of its UTF-8 form.
pub fn encode(text: &str) -> Vec<Token> {
    text.bytes().map(Token::from).collect()
}

/// Returns the text of a token. A byte becomes the character with that code point; a token above
/// the byte range becomes a space and its number.
pub fn decode(token: Token) -> String {
    if token >= BYTE_TOKEN_COUNT {
        return format!(" {token}");
    }
    u8::try_from(token).map_or_else(|_| String::new(), |byte| char::from(byte).to_string())
}
