/** Largest message between processes; holds a whole configuration document. */
export const MAXIMUM_MESSAGE_BYTES = 4_000_000;
