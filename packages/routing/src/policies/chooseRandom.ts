import type { RoutingPolicy } from "./routingPolicy";
import { toChoice } from "./toChoice";

/** Chooses any candidate with equal probability. */
export const chooseRandom: RoutingPolicy = input => toChoice(input, input.random.nextInt(input.candidates.length));
