/** Maximum size of a received message; large enough for a whole configuration document. */
export const MAXIMUM_MESSAGE_BYTES = 4_000_000;
