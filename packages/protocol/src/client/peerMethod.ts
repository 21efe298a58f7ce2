import type { MethodDefinition } from "@grpc/grpc-js";

/** Method of a generated service definition, reduced to the fields that a call needs. */
export type PeerMethod<Request, Response> = Pick<
    MethodDefinition<Request, Response>,
    "path" | "requestSerialize" | "responseDeserialize"
>;
