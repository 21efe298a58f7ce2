import { randomBytes, randomInt } from "node:crypto";
import { createRandom } from "./createRandom";
import type { RandomSource } from "./randomSource";

const SEED_RANGE = 2 ** 31;

/** Creates a randomly seeded source. Its hexadecimal strings are cryptographically random: unique and not guessable. */
export const createSystemRandom = (): RandomSource => ({
    ...createRandom(randomInt(SEED_RANGE)),
    nextHex: length => randomBytes(Math.ceil(length / 2)).toString("hex").slice(0, length),
});
