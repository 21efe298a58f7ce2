import type { Brand } from "../brand";

/** Fencing token: number of a lease grant; a greater number invalidates all smaller ones. */
export type FencingNumber = Brand<number, "FencingNumber">;
