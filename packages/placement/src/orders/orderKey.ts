import { match } from "ts-pattern";
import type { ControlOrder } from "./controlOrder";

/** Returns a key that is equal for orders with the same target and content, regardless of their generation. */
export const orderKey = (order: ControlOrder): string =>
    match(order)
        .with({ type: "start-host" }, ({ operationId }) => `start-host ${operationId}`)
        .with({ type: "announce-leaving" }, ({ upstreamId, deadlineMs }) =>
            `announce-leaving ${upstreamId} ${deadlineMs ?? ""}`)
        .with({ type: "drain" }, { type: "stop-host" }, ({ type, upstreamId }) =>
            `${type} ${upstreamId}`)
        .with(
            { type: "load-model" },
            ({ upstreamId, model, version }) => `load-model ${upstreamId} ${model} ${version}`,
        )
        .with(
            { type: "load-adapter" },
            ({ upstreamId, adapter, artifact }) => `load-adapter ${upstreamId} ${adapter} ${artifact}`,
        )
        .with({ type: "set-role" }, ({ upstreamId, role }) => `set-role ${upstreamId} ${role}`)
        .exhaustive();
