import { fingerprint } from "./fingerprint";

/** Returns the positions of a member on the given number of rings. */
export const ringPositionsOf = (hostId: string, rings: number): readonly number[] =>
    Array.from({ length: rings }, (_, ring) => fingerprint(`${ring}/${hostId}`));
