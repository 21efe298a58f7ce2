import type { ReplicaOption } from "./replicaOption";

/** Returns the price of all replicas together for an hour. */
export const totalPricePerHour = (replicas: readonly ReplicaOption[]): number =>
    replicas.reduce((sum, replica) => sum + replica.pricePerHour, 0);
