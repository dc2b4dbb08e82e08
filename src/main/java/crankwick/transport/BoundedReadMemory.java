package crankwick.transport;

import org.glassfish.grizzly.memory.HeapBuffer;
import org.glassfish.grizzly.memory.HeapMemoryManager;

/**
 * Memory for reads of at most the configured size. Grizzly would otherwise read into a direct buffer that it keeps for
 * each thread and that is as large as the largest write so far.
 */
final class BoundedReadMemory extends HeapMemoryManager {
    BoundedReadMemory(int maxBufferBytes) {
        super(maxBufferBytes);
    }

    /** True, so that input is read into the buffer that this class allocates. */
    @Override
    public boolean willAllocateDirect(int bytes) {
        return true;
    }

    @Override
    public HeapBuffer allocateAtLeast(int bytes) {
        return allocate(bytes);
    }
}
