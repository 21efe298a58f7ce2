import { randomBytes, randomInt } from "node:crypto";
import { createRandom } from "./createRandom";
import type { RandomSource } from "./randomSource";

const SEED_RANGE = 2 ** 31;

/** Creates a source for a running process; its hexadecimal texts are unique and cannot be guessed. */
export const createSystemRandom = (): RandomSource => ({
    ...createRandom(randomInt(SEED_RANGE)),
    nextHex: length => randomBytes(Math.ceil(length / 2)).toString("hex").slice(0, length),
});
