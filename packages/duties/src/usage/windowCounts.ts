import type { AccountId } from "@ibislanding/core";

/** Requests of each account that began in each window, by window number. */
export type WindowCounts = ReadonlyMap<number, ReadonlyMap<AccountId, number>>;
