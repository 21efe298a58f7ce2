import { Err, Ok, type Result } from "ts-results";
import type { RolloutOrder } from "./rolloutOrder";

/** Longest duration of an order; a longer one is taken for a mistake in the unit. */
const MAXIMUM_DURATION_MS = 3_600_000;

/** Checks an order; the error is the reason for which it is rejected. */
export const validateOrder = (
    order: RolloutOrder,
    { hasService }: { readonly hasService: boolean; },
): Result<RolloutOrder, string> => {
    if (!hasService) {
        return Err(`unknown service ${order.service}`);
    }
    if (!(order.durationMs > 0 && order.durationMs <= MAXIMUM_DURATION_MS)) {
        return Err(`duration of ${order.durationMs} ms is not between 0 and ${MAXIMUM_DURATION_MS} ms`);
    }
    return order.target === "" ? Err("empty target version") : Ok(order);
};
