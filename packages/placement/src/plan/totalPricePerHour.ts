import type { ReplicaOption } from "./replicaOption";

/** Returns the total price of the replicas per hour. */
export const totalPricePerHour = (replicas: readonly ReplicaOption[]): number =>
    replicas.reduce((sum, replica) => sum + replica.pricePerHour, 0);
