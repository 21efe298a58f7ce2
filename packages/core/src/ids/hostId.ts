import type { Brand } from "../brand";

/** Id of one process of the system; a restarted process has a new one. */
export type HostId = Brand<string, "HostId">;
