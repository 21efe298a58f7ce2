import type { ConfigurationPeers } from "@ibislanding/configuration";
import { createFailure, ErrorCode } from "@ibislanding/core";
import { Err } from "ts-results";

/** Peers of a process that knows of no others. */
export const noConfigurationPeers: ConfigurationPeers = {
    sample: () => [],
    fetch: async () => Err(createFailure(ErrorCode.PeerUnavailable)),
    announce: async () => Err(createFailure(ErrorCode.PeerUnavailable)),
};
