/** Whether a head is valid so far: `pending` until its last byte, or an invalid one, has been read. */
export type HeadValidity = "pending" | "valid" | "invalid";
