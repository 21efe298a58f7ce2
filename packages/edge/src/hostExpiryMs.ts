/** A host without a report for this long no longer counts; one that is paused or cut off keeps its shares until then. */
export const HOST_EXPIRY_MS = 10_000;
