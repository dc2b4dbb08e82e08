package crankwick.database;

import crankwick.broker.BrokerEventSink;
import crankwick.transport.Clock;
import crankwick.transport.CodecFilter;
import crankwick.transport.EventLoop;

/** What the parts of one pool share. */
record PoolContext(BrokerEventSink broker, EventLoop loop, Clock clock, CodecFilter codec, PoolCounters counters) {}
