import type { TrafficCounters } from "./trafficCounters";

/** Creates counters that start at 0. */
export const createTrafficCounters = (): TrafficCounters => {
    const counts = { messagesSent: 0, messagesReceived: 0, bytesSent: 0, bytesReceived: 0 };
    return {
        countSent: (codec, message) => {
            counts.messagesSent++;
            counts.bytesSent += codec.encode(message).finish().length;
        },
        countReceived: (codec, message) => {
            counts.messagesReceived++;
            counts.bytesReceived += codec.encode(message).finish().length;
        },
        read: () => ({ ...counts }),
    };
};
