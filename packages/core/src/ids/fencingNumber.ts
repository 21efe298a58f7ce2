import type { Brand } from "../brand";

/** Number of a lease grant; a greater one makes smaller ones invalid. */
export type FencingNumber = Brand<number, "FencingNumber">;
