/** Traffic of a process since its start; bytes are those of encoded messages without their transport. */
export interface MembershipCounters {
    readonly messagesSent: number;
    readonly messagesReceived: number;
    readonly bytesSent: number;
    readonly bytesReceived: number;
}
