/** What becomes of the open connections of a host that is cut off from an upstream; new ones can't be opened. */
export type HostCut = "live-on" | "silent" | "reset";
