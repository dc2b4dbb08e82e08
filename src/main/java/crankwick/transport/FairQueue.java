package crankwick.transport;

import java.util.PriorityQueue;

/**
 * Orders flows by weighted fair queueing with equal weights (Demers, Keshav and Shenker, 1989): each flow has the same
 * share of the work, whatever the sizes of its items and however many it has. The flow whose next item would be
 * finished first in virtual time is next. Virtual time advances with all work, also that of flows that come and go, so
 * that no flow is overtaken without end: from its addition to its turn, each place in the queue gets at most as much
 * work as the flow's own item takes, and one turn. With a credit, a flow that has had no work lately gets that much of
 * it first. Not thread-safe.
 *
 * @param <T> what a flow belongs to
 */
public final class FairQueue<T> {
    /** The state of one flow, which its owner keeps. */
    public static final class Flow<T> implements Comparable<Flow<T>> {
        private final T owner;
        /** The virtual time at which all work that the flow has been charged for is finished. */
        private long virtualFinish = Long.MIN_VALUE / 2;
        /** How far the flow may lag behind virtual time: work that it gets before others. */
        private long creditLeft;
        /** The position in the queue: the virtual time at which the flow's next item would be finished. */
        private long position;
        /** Orders flows with equal positions by their addition. */
        private long sequence;

        private boolean queued;

        /** Creates the flow of an owner, which is not in a queue yet. */
        public Flow(T owner) {
            this.owner = owner;
        }

        @Override
        public int compareTo(Flow<T> other) {
            return position != other.position
                    ? Long.compare(position, other.position)
                    : Long.compare(sequence, other.sequence);
        }
    }

    private final PriorityQueue<Flow<T>> flows = new PriorityQueue<>();
    private final long credit;
    private long virtualTime;
    private long additions;

    /** Creates a queue in which each flow has a credit, in units of work; 0 for none. */
    public FairQueue(long credit) {
        this.credit = credit;
    }

    /** Adds a flow whose next item has the given cost; does nothing if the flow is in the queue. */
    public void add(Flow<T> flow, long nextCost) {
        if (flow.queued) {
            return;
        }
        flow.queued = true;
        catchUp(flow);
        flow.position = flow.virtualFinish + nextCost;
        flow.sequence = additions++;
        flows.add(flow);
    }

    /** The owner of the flow whose turn it is, which stays in the queue; null if the queue is empty. */
    public T peek() {
        return flows.isEmpty() ? null : flows.peek().owner;
    }

    /** Removes the flow whose turn it is and returns its owner; null if the queue is empty. */
    public T poll() {
        Flow<T> next = flows.poll();
        if (next == null) {
            return null;
        }
        next.queued = false;
        return next.owner;
    }

    /** Brings a flow that has had little work lately up to virtual time, less its credit. */
    private void catchUp(Flow<T> flow) {
        if (virtualTime - flow.virtualFinish >= credit) {
            flow.creditLeft = credit;
        }
        flow.virtualFinish = Math.max(flow.virtualFinish, virtualTime - flow.creditLeft);
    }

    /** Charges a flow that is not in the queue for the work of its turn. */
    public void charge(Flow<T> flow, long cost) {
        catchUp(flow);
        flow.virtualFinish += cost;
        flow.creditLeft = Math.max(0, flow.creditLeft - cost);
        virtualTime += cost / (flows.size() + 1);
    }

    /** True if no flow is in the queue. */
    public boolean isEmpty() {
        return flows.isEmpty();
    }
}
