import type { Failure, Revision } from "@ibislanding/core";
import type { PeerAddress } from "@ibislanding/protocol";
import type { ConfigurationDocument } from "@ibislanding/resources";
import type { Result } from "ts-results";
import type { PeerConfiguration } from "./peerConfiguration";

/** Port to the configuration followers of other hosts. */
export interface ConfigurationPeers {
    /** Returns up to `count` random live peers, never this process itself. */
    readonly sample: (count: number) => readonly PeerAddress[];
    /** Fetches a peer's revision, and its document if that is newer than the known revision. */
    readonly fetch: (
        peer: PeerAddress,
        knownRevision: Revision | undefined,
    ) => Promise<Result<PeerConfiguration, Failure>>;
    /** Ensures that a peer has the document or a newer one. */
    readonly announce: (peer: PeerAddress, document: ConfigurationDocument) => Promise<Result<void, Failure>>;
}
