import { fingerprint } from "./fingerprint";

/** Returns the position of a member on each ring. */
export const ringPositionsOf = (hostId: string, rings: number): readonly number[] =>
    Array.from({ length: rings }, (_, ring) => fingerprint(`${ring}/${hostId}`));
