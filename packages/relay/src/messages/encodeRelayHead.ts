import type { RelayHead } from "./relayHead";

/** Encodes the head as the value of a header. */
export const encodeRelayHead = (head: RelayHead): string => encodeURIComponent(JSON.stringify(head));
