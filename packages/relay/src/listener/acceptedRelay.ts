import type { RelayHead } from "../messages/relayHead";

/** A relayed request that a peer has accepted, with what it is told while it serves it. */
export interface AcceptedRelay extends Omit<RelayHead, "bodyBytes"> {
    /** To be called with the number of bytes of the body that have been read, also if that is none. */
    readonly onBodyBytes: (receivedBytes: number) => void;
    /** To be called before the head of a refusal by this host. */
    readonly onRefusal: (reason: string) => void;
    /** To be called before the head of an upstream's answer. */
    readonly onAnswer: (softwareVersion: string) => void;
}
