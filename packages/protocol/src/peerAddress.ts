import type { Brand } from "@ibislanding/core";

/** Address of the internal gRPC listener of a process, `ip:port`. */
export type PeerAddress = Brand<string, "PeerAddress">;
