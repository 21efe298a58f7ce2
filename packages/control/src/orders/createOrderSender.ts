import type { FencingNumber } from "@ibislanding/core";
import type { ControlOrder, LeaseHolder } from "@ibislanding/placement";
import type { EngineOrder } from "@ibislanding/upstreams";
import { match } from "ts-pattern";
import { Ok } from "ts-results";
import type { OrderOutcome } from "./orderOutcome";
import type { OrderPorts } from "./orderPorts";
import type { OrderSender } from "./orderSender";

/**
 * Creates the sender of a service's orders.
 *
 * The lease is checked on the monotonic clock immediately before each order is sent. If the process is paused between
 * the check and the send, receivers that check fencing numbers still reject the stale order.
 */
export const createOrderSender = (
    ports: OrderPorts,
    lease: Pick<LeaseHolder, "check">,
    honoursFencing: () => boolean,
): OrderSender => {
    const sendUnderLease = async (
        receiverHonoursFencing: boolean,
        send: (fencingNumber: FencingNumber) => Promise<OrderOutcome>,
    ): Promise<OrderOutcome> => {
        const checkedLease = lease.check({ honoursFencing: receiverHonoursFencing });
        return checkedLease.ok ? send(checkedLease.val) : checkedLease;
    };

    const sendToEngine = (url: string, order: Omit<EngineOrder, "fencingNumber">): Promise<OrderOutcome> =>
        sendUnderLease(
            honoursFencing(),
            async fencingNumber => (await ports.engineAt(url).order({ ...order, fencingNumber })).map(() => undefined),
        );

    const loadWeights = async (
        url: string,
        artifact: string,
        order: Omit<EngineOrder, "fencingNumber">,
    ): Promise<OrderOutcome> => {
        const reserved = await ports.weights.reserveLoad(artifact);
        return reserved.ok ? sendToEngine(url, { ...order, artifact }) : reserved;
    };

    return (order: ControlOrder) =>
        match(order)
            .with({ type: "start-host" }, ({ service, operationId, choice }) =>
                sendUnderLease(ports.cloudHonoursFencing, fencingNumber =>
                    ports.cloud.startHost({ service, operationId, fencingNumber, ...choice })))
            .with({ type: "stop-host" }, ({ upstreamId }) =>
                sendUnderLease(ports.cloudHonoursFencing, async fencingNumber =>
                    (await ports.cloud.stopHost(upstreamId, fencingNumber)).map(() =>
                        undefined
                    )))
            .with({ type: "announce-leaving" }, ({ upstreamId, deadlineMs }) =>
                sendUnderLease(true, async () => {
                    ports.announceLeaving(upstreamId, deadlineMs);
                    return Ok(undefined);
                }))
            .with({ type: "drain" }, ({ url, generation }) =>
                sendToEngine(url, { type: "drain", generation }))
            .with({ type: "set-role" }, ({ url, role, generation }) =>
                sendToEngine(url, { type: "set-role", role, generation }))
            .with({ type: "load-model" }, ({ url, model, version, artifact, generation }) =>
                loadWeights(url, artifact, { type: "load-model", model, version, generation }))
            .with({ type: "load-adapter" }, ({ url, adapter, model, artifact, generation }) =>
                loadWeights(url, artifact, { type: "load-adapter", adapter, model, generation }))
            .exhaustive();
};
