package stileferry.admission;

import stileferry.validation.InvalidInputException;

/**
 * The admission window of one flow: an arc of a hash ring on which every job has a position. The window's head moves
 * round the ring at a steady speed. A job is admissible from when the head reaches its position, for
 * {@link AdmissionConfig#WINDOW_S} seconds; so every job is admissible once a round.
 *
 * @param position ring position of the head when the table was made, in [0, 1)
 * @param roundsPerS speed of the head, in rounds of the ring a second
 */
public record AdmissionWindow(double position, double roundsPerS) {
    /** At this speed or above the window covers the whole ring, so that nobody is refused. */
    static final double MIN_OPEN_ROUNDS_PER_S = 1 / AdmissionConfig.WINDOW_S;

    /** Checks both figures. */
    public AdmissionWindow {
        InvalidInputException.require(position >= 0 && position < 1, "position", "not in [0, 1): " + position);
        InvalidInputException.require(
                roundsPerS > 0 && roundsPerS < MIN_OPEN_ROUNDS_PER_S,
                "roundsPerS",
                "not between 0 and " + MIN_OPEN_ROUNDS_PER_S + ": " + roundsPerS);
    }

    /** Ring position of the head some seconds after the table was made. */
    double positionAfter(double seconds) {
        return fraction(position + roundsPerS * seconds);
    }

    /**
     * Seconds until a job is in the window; 0 if it is.
     *
     * @param jobPosition the job's ring position, in [0, 1)
     * @param ageS seconds since the table was made
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
