import type { MethodDefinition } from "@grpc/grpc-js";

/** A method of a generated service definition. */
export type PeerMethod<Request, Response> = Pick<
    MethodDefinition<Request, Response>,
    "path" | "requestSerialize" | "responseDeserialize"
>;
