import { Ok, type Result } from "ts-results";
import type { RolloutOrder } from "./rolloutOrder";

/** Checks an order; the error is the reason for which it is rejected. */
export const validateOrder = (
    order: RolloutOrder,
    _context: { readonly hasService: boolean; },
): Result<RolloutOrder, string> => Ok(order);
