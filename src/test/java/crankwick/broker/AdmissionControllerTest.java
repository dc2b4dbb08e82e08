package crankwick.broker;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import crankwick.routing.TestSettings;
import crankwick.routing.api.AbsentValue;
import crankwick.routing.api.RequestClass;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.testng.annotations.Test;

/** Admission of requests by their teams' contracts. */
public class AdmissionControllerTest {
    private static final long MICROS_PER_SECOND = 1_000_000;
    private static final long START = 1_000 * MICROS_PER_SECOND;
    private static final List<RequestClass> CLASSES = TestSettings.keyedWrite(
                    400_000, 3 * MICROS_PER_SECOND, 250_000, false)
            .requestClasses();

    private static AdmissionController controller(Contract contract) {
        return new AdmissionController(CLASSES, Map.of("team", contract));
    }

    private static ClientRequest request(long timeout) {
        return new ClientRequest(1, "1", "team", 0, 0, 0, AbsentValue.NONE, timeout, "key", 0);
    }

    private static AdmissionDecision decide(AdmissionController admission, long now) {
        return admission.decide(request(MICROS_PER_SECOND), false, now);
    }

    private static Reply denial(AdmissionDecision decision) {
        return ((AdmissionDecision.Denied) decision).reply();
    }

    @Test
    public void contractWithoutLimitsAdmitsAllRequests() {
        AdmissionController admission = controller(Contract.UNLIMITED);
        for (int i = 0; i < 1_000; i++) {
            AdmissionDecision.Admitted admitted = (AdmissionDecision.Admitted) decide(admission, START);
            admitted.budget().acquireOutstanding();
            assertEquals(admitted.timeout(), MICROS_PER_SECOND);
        }
    }

    @Test
    public void requestWhoseIdIsInUseFailsWithoutTakingAToken() {
        AdmissionController admission = controller(new Contract(Set.of(), 1, 0, 0));
        assertEquals(
                denial(admission.decide(request(MICROS_PER_SECOND), true, START)),
                new Reply.Failed(Reply.Reason.ID_IN_USE));
        assertTrue(decide(admission, START) instanceof AdmissionDecision.Admitted);
    }

    @Test
    public void requestOfAClassOutsideTheContractFails() {
        AdmissionController admission = controller(new Contract(Set.of(5), 0, 0, 0));
        assertEquals(denial(decide(admission, START)), new Reply.Failed(Reply.Reason.CLASS_NOT_ALLOWED));
    }

    @Test
    public void requestsOverTheRateAreRejectedUntilATokenIsRefilled() {
        AdmissionController admission = controller(new Contract(Set.of(), 2, 0, 0));
        assertTrue(decide(admission, START) instanceof AdmissionDecision.Admitted);
        assertTrue(decide(admission, START) instanceof AdmissionDecision.Admitted);
        assertEquals(
                denial(decide(admission, START)), new Reply.Rejected(Reply.Reason.OVER_RATE, MICROS_PER_SECOND / 2));
        assertTrue(decide(admission, START + MICROS_PER_SECOND / 2) instanceof AdmissionDecision.Admitted);
    }

    @Test
    public void requestsOverTheOutstandingLimitAreRejectedUntilOneIsReleased() {
        AdmissionController admission = controller(new Contract(Set.of(), 0, 1, 0));
        AdmissionDecision.Admitted admitted = (AdmissionDecision.Admitted) decide(admission, START);
        admitted.budget().acquireOutstanding();
        assertEquals(
                denial(decide(admission, START)),
                new Reply.Rejected(Reply.Reason.OVER_OUTSTANDING, CLASSES.get(0).latencyObjective()));
        admitted.budget().releaseOutstanding();
        assertTrue(decide(admission, START) instanceof AdmissionDecision.Admitted);
    }

    @Test
    public void timeoutIsCappedByTheContract() {
        AdmissionController admission = controller(new Contract(Set.of(), 0, 0, 300_000));
        AdmissionDecision.Admitted admitted = (AdmissionDecision.Admitted) decide(admission, START);
        assertEquals(admitted.timeout(), 300_000);
    }
}
