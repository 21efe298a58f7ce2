import type { RoutingPolicy } from "./routingPolicy";
import { toChoice } from "./toChoice";

/** Chooses a candidate uniformly at random. */
export const chooseRandom: RoutingPolicy = input => toChoice(input, input.random.nextInt(input.candidates.length));
