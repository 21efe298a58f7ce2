import type { Brand } from "@ibislanding/core";

/** Address of the internal gRPC listener of another process, `ip:port`. */
export type PeerAddress = Brand<string, "PeerAddress">;
