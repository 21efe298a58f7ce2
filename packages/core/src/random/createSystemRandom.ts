import { randomInt } from "node:crypto";
import { createRandom } from "./createRandom";
import type { RandomSource } from "./randomSource";

const SEED_RANGE = 2 ** 31;

/** Creates a source with a seed from the operating system. */
export const createSystemRandom = (): RandomSource => createRandom(randomInt(SEED_RANGE));
