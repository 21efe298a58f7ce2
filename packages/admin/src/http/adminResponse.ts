import type { EventWriter } from "./eventWriter";

/** Response of a route: a JSON document or a stream of server-sent events. */
export type AdminResponse =
    | {
        readonly type: "json";
        readonly status: number;
        readonly body: unknown;
        readonly headers?: Readonly<Record<string, string>>;
    }
    | { readonly type: "events"; readonly run: (writer: EventWriter) => Promise<void>; };
