/** What marks the end of a response body, see RFC 9112, section 6.3; `none` for a response that never has a body. */
export type BodyDelimiter = "none" | "length" | "chunks" | "connection";
