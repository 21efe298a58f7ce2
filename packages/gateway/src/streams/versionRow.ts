/**
 * A version of a service's software that is registered, or was when a stream that is still under way can have begun;
 * `goneAtMs` is the time on the clock that the hosts share at which its last upstream left, 0 while it is registered.
 */
export type VersionRow = readonly [service: string, softwareVersion: string, goneAtMs: number];
