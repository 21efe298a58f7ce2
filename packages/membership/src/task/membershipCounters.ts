/** Traffic of a process since its start; bytes are those of encoded messages, without transport overhead. */
export interface MembershipCounters {
    readonly messagesSent: number;
    readonly messagesReceived: number;
    readonly bytesSent: number;
    readonly bytesReceived: number;
}
