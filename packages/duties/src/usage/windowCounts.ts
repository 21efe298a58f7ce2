import type { AccountId } from "@ibislanding/core";

/** Number of requests that began, by window number and account. */
export type WindowCounts = ReadonlyMap<number, ReadonlyMap<AccountId, number>>;
