import type { StreamOriginMessage, StreamOriginQuery, StreamOriginReply } from "@ibislanding/discovery";
import type { StreamOrigins } from "@ibislanding/gateway";

/** Origins of streams that this host knows, and those that it learns from and tells other hosts. */
export interface StreamOriginStore extends StreamOrigins {
    /** Remembers an origin for another host. */
    readonly remember: (origin: StreamOriginMessage) => void;
    readonly reply: (query: StreamOriginQuery) => StreamOriginReply;
}
