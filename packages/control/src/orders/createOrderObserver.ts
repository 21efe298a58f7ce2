import type { ControlOrder } from "@ibislanding/placement";
import type { Logger, MetricsRegistry } from "@ibislanding/runtime";
import type { OrderOutcome } from "./orderOutcome";

/** Creates the callback that counts each order by type and outcome and logs it with its target. */
export const createOrderObserver = (logger: Logger, metrics: MetricsRegistry) => {
    const orders = metrics.counter("ibis_control_orders_total", "Orders by type and outcome.");
    return (order: ControlOrder, outcome: OrderOutcome): void => {
        const result = outcome.ok ? "ok" : outcome.val.code;
        orders.add(1, { type: order.type, outcome: result });
        const target = order.type === "start-host" ? order.operationId : order.upstreamId;
        logger.info("order", { type: order.type, target, outcome: result });
    };
};
