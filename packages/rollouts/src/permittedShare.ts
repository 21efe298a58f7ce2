import type { ShareKnowledge } from "./shareKnowledge";

/** Returns the share of the new requests, in [0, 1], that a host may send to the target now. */
export const permittedShare = ({ state }: ShareKnowledge): number => state?.share ?? 0;
