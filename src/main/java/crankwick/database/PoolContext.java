package crankwick.database;

import crankwick.broker.BrokerEventSink;
import crankwick.transport.Clock;
import crankwick.transport.CodecFilter;
import crankwick.transport.EventLoop;

/** Dependencies shared by the exchanges and connections of one pool. */
record PoolContext(BrokerEventSink broker, EventLoop loop, Clock clock, CodecFilter codec, PoolCounters counters) {}
