package stileferry.admission;

import stileferry.validation.InvalidInputException;

/**
 * Whose turn it is in one flow: a pointer goes round a circle on which every job has a place. A job's turn begins when
 * the pointer reaches its place and lasts {@link AdmissionConfig#WINDOW_S}; so everybody's turn comes once a round.
 *
 * @param position where the pointer was at the moment that the table was made, in [0, 1)
 * @param roundsPerS how fast it goes
 */
public record AdmissionWindow(double position, double roundsPerS) {
    /** Rounds that take no longer than a turn close nothing. */
    static final double MIN_OPEN_ROUNDS_PER_S = 1 / AdmissionConfig.WINDOW_S;

    /** Checks both figures. */
    public AdmissionWindow {
        InvalidInputException.require(position >= 0 && position < 1, "position", "not in [0, 1): " + position);
        InvalidInputException.require(
                roundsPerS > 0 && roundsPerS < MIN_OPEN_ROUNDS_PER_S,
                "roundsPerS",
                "not between 0 and " + MIN_OPEN_ROUNDS_PER_S + ": " + roundsPerS);
    }

    /** Where the pointer is some seconds later. */
    double positionAfter(double seconds) {
        double position = this.position + roundsPerS * seconds;
        return position - Math.floor(position);
    }

    /** Seconds until a job's turn begins, so long after the table was made; 0: it is under way. */
    double waitS(double place, double secondsAfter) {
        double pointer = positionAfter(secondsAfter);
        double passed = pointer - place;
        passed -= Math.floor(passed);
        if (passed < roundsPerS * AdmissionConfig.WINDOW_S) {
            return 0;
        }
        return (1 - passed) / roundsPerS;
    }
}
