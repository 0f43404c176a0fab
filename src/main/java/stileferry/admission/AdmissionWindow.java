package stileferry.admission;

import stileferry.validation.InvalidInputException;

/**
 * The admission window of one flow: an arc of a hash ring on which every job has a position. The window's head moves
 * around the ring at constant speed. A job becomes admissible when the head reaches its position, and stays so for
 * {@link AdmissionConfig#WINDOW_S} seconds; so every job is admissible once per round.
 *
 * @param position ring position of the head when the table was computed, in [0, 1)
 * @param roundsPerS speed of the head, in rounds of the ring per second
 */
public record AdmissionWindow(double position, double roundsPerS) {
    /** At this speed or above, the window covers the whole ring and no job is rejected. */
    static final double MIN_OPEN_ROUNDS_PER_S = 1 / AdmissionConfig.WINDOW_S;

    /** Validates both values. */
    public AdmissionWindow {
        InvalidInputException.require(position >= 0 && position < 1, "position", "must be in [0, 1): " + position);
        InvalidInputException.require(
                roundsPerS > 0 && roundsPerS < MIN_OPEN_ROUNDS_PER_S,
                "roundsPerS",
                "must be above 0 and below " + MIN_OPEN_ROUNDS_PER_S + ": " + roundsPerS);
    }

    /** Returns the ring position of the head this many seconds after the table was computed. */
    double positionAfter(double seconds) {
        return fraction(position + roundsPerS * seconds);
    }

    /**
     * Returns the seconds until a job is in the window, or 0 if it is in the window now.
     *
     * @param jobPosition the job's ring position, in [0, 1)
     * @param ageS seconds since the table was computed
     */
    double waitS(double jobPosition, double ageS) {
        double passedRounds = fraction(positionAfter(ageS) - jobPosition);
        boolean inWindow = passedRounds < roundsPerS * AdmissionConfig.WINDOW_S;
        return inWindow ? 0 : (1 - passedRounds) / roundsPerS;
    }

    private static double fraction(double rounds) {
        return rounds - Math.floor(rounds);
    }
}
