import type { Brand } from "../brand";

/** Id of a process of the system; a restarted process gets a new id. */
export type HostId = Brand<string, "HostId">;
